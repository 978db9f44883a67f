"""Run one entry instance: the daemon around the hornbeampaddle library."""
