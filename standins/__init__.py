"""Small stand-ins for the outside systems, and the launcher of demos and tests."""
