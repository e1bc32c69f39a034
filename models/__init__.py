"""Specifications of the core protocols in Promela and the program that checks them."""
