"""Adapter for the users' platform: translates its wire formats and names.

Names that the platform uses on the wire occur in this package only.
"""
