//! The decision core: placement, guarantees, reclaim, gangs, adjacency and order, without I/O.
