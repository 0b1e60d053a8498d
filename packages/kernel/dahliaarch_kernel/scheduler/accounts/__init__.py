"""Fair sharing of the pool between client accounts."""
