"""What callers lose when room is short, and decisions that keep it small."""
