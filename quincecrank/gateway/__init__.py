"""The gateway: forwards callers' HTTP requests to backend servers.

Unlike the entry with its OpenAI-style API, a gateway passes bodies and event
streams through unchanged and learns about prompts from request headers.  Every
format of the platform that it runs on is decoded by `quincecrank.platform`.
"""
