//! Versions of the protocol, agreed on when a connection is opened. Builds of two releases run side
//! by side during an upgrade, and each sends the other only messages that it knows.

use strum::IntoEnumIterator;

/// A version of the protocol.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr,
)]
pub enum Protocol {
    /// Messages up to [`crate::Request::Tunnel`]; rows name no era of the store.
    #[strum(serialize = "catkinvane/1")]
    V1,
    /// Adds [`crate::Request::Updates`].
    #[strum(serialize = "catkinvane/2")]
    V2,
    /// Adds [`crate::Request::Schedule`].
    #[strum(serialize = "catkinvane/3")]
    V3,
    /// Adds [`crate::Request::Follow`].
    #[strum(serialize = "catkinvane/4")]
    V4,
    /// Adds [`crate::Request::FollowPacked`].
    #[strum(serialize = "catkinvane/5")]
    V5,
}

impl Protocol {
    /// Names of all versions for the handshake, the preferred one first.
    pub(crate) fn names() -> Vec<Vec<u8>> {
        let versions = Protocol::iter().rev();
        versions.map(|it| it.name().to_vec()).collect()
    }

    /// The version that a handshake agreed on; the first one if it named none.
    pub(crate) fn agreed(name: Option<&[u8]>) -> Protocol {
        let mut versions = Protocol::iter();
        let agreed = versions.find(|it| Some(it.name()) == name);
        agreed.unwrap_or(Protocol::V1)
    }

    fn name(self) -> &'static [u8] {
        let name: &'static str = self.into();
        name.as_bytes()
    }
}
