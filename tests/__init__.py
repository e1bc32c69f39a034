"""Tests of quincecrank."""
