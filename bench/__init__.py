"""Measure the product: nothing here passes or fails by time."""
