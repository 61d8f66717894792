"""Primary election: the agreed primary of each group, and its replacement."""
