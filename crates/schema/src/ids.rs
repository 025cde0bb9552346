//! Names and numbers by which things are known. Aliases, so that a signature says which is meant.

use uuid::Uuid;

/// Name of a client account.
pub type AccountId = String;
/// Name a worker gave to a checkpoint; opaque to us.
pub type CheckpointId = String;
/// Name of a job class.
pub type ClassName = String;
/// Number of an accepted configuration; higher is newer.
pub type ConfigVersion = u64;
/// Name of a data centre.
pub type DataCenter = String;
/// Number of a tenure of a hall scheduler; higher is newer.
pub type Epoch = u64;
/// What a worker refuses calls by: it does nothing for one that is lower than the highest it has seen.
pub type FencingToken = u64;
/// Id of one grant of a slot to an entry.
pub type GrantId = Uuid;
/// Id that a caller chose for a job graph; written as 16 hexadecimal digits.
pub type GraphId = u64;
/// Name of a guaranteed shape within its client account.
pub type GuaranteeName = String;
/// Name of a hall.
pub type HallName = String;
/// Key by which a caller marks a request that must run at most once; a UUIDv7.
pub type IdempotencyKey = Uuid;
/// When a life of a worker began, in Unix milliseconds: a worker that starts again may keep its id.
pub type Incarnation = u64;
/// Name of one process of ours, new at each start.
pub type InstanceId = String;
/// Id of a job; a UUIDv7.
pub type JobId = Uuid;
/// Name of a kind of worker.
pub type KindName = String;
/// Name we give a lease; opaque to the worker.
pub type LeaseId = String;
/// Key of an object in the object store.
pub type ObjectKey = String;
/// IP address and port, as text.
pub type PeerAddress = String;
/// Id of one draft of a configuration.
pub type ProposalId = Uuid;
/// Name of a rack within its hall.
pub type RackName = String;
/// Name of a region.
pub type Region = String;
/// Id of a request; a UUIDv7.
pub type RequestId = Uuid;
/// Key of a row in the table service.
pub type RowKey = String;
/// Version of a row in the table service; 0 means that there is none.
pub type RowVersion = u64;
/// Name of an upstream.
pub type UpstreamName = String;
/// Name of a worker, `<hall>-<rack>-<number>`.
pub type WorkerId = String;
