"""Budgets of memory, descriptors and processor time, shared by all processes.

Modules named `*_budget` decide and perform no I/O; the others carry it out.
"""
