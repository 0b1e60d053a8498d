"""Keeps the operators' configuration up to date from the store and from peers."""

from .follower import ConfigurationFollower
from .peer_feed import PeerFeed
from .store_feed import StoreFeed

__all__ = ('ConfigurationFollower', 'PeerFeed', 'StoreFeed')
