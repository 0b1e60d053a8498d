"""Pure decision logic of the dahliaarch scheduler: no I/O, no clock, no network."""
