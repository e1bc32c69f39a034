"""Runs a gateway: ``python -m quincecrank.gateway``."""

from quincecrank.gateway import main

main.main()
