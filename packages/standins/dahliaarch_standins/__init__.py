"""Stand-ins for the platform's store and workers that implement its protocol."""
