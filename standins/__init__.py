"""Small simulations (stand-ins) of the outside systems, and a launcher for them."""
