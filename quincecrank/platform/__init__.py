"""Names, formats and calls of the consortium's platform.

Modules here decode what the platform sends into the types of
`quincecrank.gateway` and encode what is sent to it.  They decide nothing.
"""
