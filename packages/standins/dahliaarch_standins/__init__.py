"""Stand-ins of the platform: its store and its workers, over its protocol."""
