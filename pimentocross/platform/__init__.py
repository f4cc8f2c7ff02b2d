"""The users' platform: translates its wire form to the product's types.

Nothing outside this folder knows the platform's names.
"""
