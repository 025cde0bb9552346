//! almondpassd: one instance, assembled from settings; and the demo.
