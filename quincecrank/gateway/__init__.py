"""The gateway: forwards callers' HTTP requests to backend servers.

Unlike the entry with its OpenAI-style API, a gateway passes bodies and event streams
through unchanged and reads the description of a prompt from the request headers.  All
formats of the platform are encoded and decoded by `quincecrank.platform`.
"""
