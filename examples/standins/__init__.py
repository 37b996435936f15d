"""Stand-ins for the systems around a mesh: the platform, targets and callers."""
