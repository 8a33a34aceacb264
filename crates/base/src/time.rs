//! Times in messages, bounded so that no later computation overflows.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// Longest time that is used; in effect unbounded, and far from the end of the clock.
pub const DURATION_MAX: Duration = Duration::from_secs(24 * 3_600);

/// Decodes a [`Duration`], at most to [`DURATION_MAX`].
pub struct Bounded;

impl SerializeAs<Duration> for Bounded {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        source.serialize(serializer)
    }
}

impl<'de> DeserializeAs<'de, Duration> for Bounded {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        Duration::deserialize(deserializer).map(|it| it.min(DURATION_MAX))
    }
}
