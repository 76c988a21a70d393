"""At-most-once execution of orders."""
