"""Drive real entry instances in virtual time, over small fakes of the platform."""
