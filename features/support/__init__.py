"""Run real entry instances in virtual time on small fakes of the platform."""
