"""Tools of the project that are run from the Makefile."""
