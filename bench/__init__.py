"""Benchmarks; none of them passes or fails on a duration."""
