/**
 * The cluster of controllers: session lease and membership, leader election, and the assignment
 * map.
 *
 * <p><b>Duty.</b> {@link org.sandford.cluster.SessionMembership} maintains this controller's
 * session. {@link org.sandford.cluster.LeaderElection} elects the leader. {@link
 * org.sandford.cluster.PrefixWatch} reads and watches the cluster's keys in the store, and {@link
 * org.sandford.cluster.AssignmentMapCache} caches the assignment map. Only the leader changes the
 * map: {@link org.sandford.cluster.AssignmentReconciler} plans the changes from the members and the
 * {@link org.sandford.cluster.PendingChanges}, and {@link org.sandford.cluster.AssignmentMapWriter}
 * writes them by compare-and-swap. {@link org.sandford.cluster.RecordVersions} determines which
 * stored records every controller can read.
 *
 * <p><b>Owned state.</b> In memory: the session lease, the cached assignment map, members and
 * leader, and the pending changes. In the store: the keys of {@link
 * org.sandford.cluster.ClusterKeys} and the incarnation numbers.
 *
 * <p><b>Thread.</b> Everything runs on the event loop. While the store does not answer, the cached
 * map stays in use; code that acts as an owner first checks {@link
 * org.sandford.cluster.Cluster#sessionLeaseValid()}.
 *
 * <p><b>Callers.</b> Other packages use only {@link org.sandford.cluster.Cluster}, the value types
 * of {@link org.sandford.cluster.AssignmentMap} and {@link org.sandford.cluster.RecordVersions}.
 */
package org.sandford.cluster;
