"""Wire names, formats and clients of the consortium's platform.

Modules here decode what the platform sends into the types of
`quincecrank.gateway` and encode what is sent to it.  They make no decisions.  The
wire names of the protocol stand only here.
"""
