"""Serving system for prompts whose long shared context returns after a pause."""
