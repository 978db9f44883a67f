"""Model checking of the core protocol, with each guard removed in turn."""
