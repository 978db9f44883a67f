"""The entry instance daemon, which is built on the hornbeampaddle library."""
