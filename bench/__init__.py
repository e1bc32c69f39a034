"""Load generator, experiments and benchmarks; not part of the product."""
