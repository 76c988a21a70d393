"""Process roles (gateway and control), assembled from settings."""
