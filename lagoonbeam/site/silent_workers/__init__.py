"""What is concluded, and when, from workers that do not answer."""
