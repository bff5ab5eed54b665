//! The part of the document that daemons need, and its deltas.

use super::catalogue_delta::{Catalogue, PutRecords, apply_catalogue_delta, catalogue_delta};
use super::fields::{
    extract_spec, fields_text, read_all, read_evacuated, read_generations, read_voter_addresses,
    text_with_spec,
};
use super::{DocumentError, Spec, SpecRecords};
use crate::frames::SocketAddress;
use crate::identity::{FunctionName, Version, Zone};
use crate::readers::{PathError, PathErrorReason, PathReader};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The part of the replicated document that daemons need.
#[derive(Clone, PartialEq, Debug)]
pub struct DaemonView {
    /// The document version that last changed this view.
    pub version: Version,
    /// The spec as the operators wrote it.
    pub spec: SpecRecords,
    /// The version in which each function was added to the catalogue.
    pub generations: BTreeMap<FunctionName, Version>,
    /// The evacuated zones.
    pub evacuated: BTreeSet<Zone>,
    /// The addresses of the voters.
    pub voters: Vec<SocketAddress>,
}

/// The JSON fields of a view, except the spec.
#[derive(Serialize)]
struct ViewFields<'a> {
    #[serde(rename = "serial")]
    version: Version,
    generations: &'a BTreeMap<FunctionName, Version>,
    evacuated: &'a BTreeSet<Zone>,
    #[serde(rename = "core")]
    voters: &'a [SocketAddress],
}

/// The JSON fields of a delta, except those of the catalogue.
#[derive(Serialize)]
struct ViewDeltaFields<'a> {
    /// The version that the delta applies to.
    base: Version,
    #[serde(rename = "serial")]
    version: Version,
    evacuated: &'a BTreeSet<Zone>,
    #[serde(rename = "core")]
    voters: &'a [SocketAddress],
}

impl DaemonView {
    fn other_fields(&self) -> ViewFields<'_> {
        ViewFields {
            version: self.version,
            generations: &self.generations,
            evacuated: &self.evacuated,
            voters: &self.voters,
        }
    }

    /// Encodes the view as JSON text.
    pub fn to_bytes(&self) -> Vec<u8> {
        text_with_spec(&self.spec, &self.other_fields())
    }

    /// Reads a view from its JSON text.
    ///
    /// # Errors
    /// [`DocumentError::NotJson`] or [`DocumentError::Path`]. The spec itself is not validated; see
    /// [`check_spec`](Self::check_spec).
    pub fn from_bytes(view_bytes: &[u8]) -> Result<Self, DocumentError> {
        let mut value: Value = serde_json::from_slice(view_bytes)?;
        let spec = extract_spec(&mut value)?;
        read_all(&value, |root| {
            Some(Self {
                version: Version(root.field("serial").number(0..=u64::MAX)?),
                spec,
                generations: read_generations(&root.field("generations")),
                evacuated: read_evacuated(&root.field("evacuated")),
                voters: read_voter_addresses(&root.field("core")),
            })
        })
    }

    /// Returns the SHA-256 digest of the view, computed from the spec's digest and all other fields.
    pub fn digest(&self) -> [u8; 32] {
        let mut digest_input = self.spec.digest().to_vec();
        digest_input.extend(fields_text(&self.other_fields()));
        crate::seal::digest(&digest_input)
    }

    /// Encodes the delta from this view to a newer one as JSON text: the records that were added or changed, the names
    /// of those that were removed, and all other fields.
    pub fn delta_to(&self, newer_view: &DaemonView) -> Vec<u8> {
        let other_fields = ViewDeltaFields {
            base: self.version,
            version: newer_view.version,
            evacuated: &newer_view.evacuated,
            voters: &newer_view.voters,
        };
        catalogue_delta(self.catalogue(), newer_view.catalogue(), &other_fields)
    }

    fn catalogue(&self) -> Catalogue<'_> {
        Catalogue {
            spec: &self.spec,
            generations: &self.generations,
        }
    }

    /// Applies a delta to this view.
    ///
    /// # Errors
    /// [`DocumentError::WrongBase`] if the delta applies to another version, [`DocumentError::WrongDigest`] if the
    /// resulting view does not have the given digest; otherwise as [`from_bytes`](Self::from_bytes).
    pub fn apply_delta(
        &self,
        delta_bytes: &[u8],
        digest: &[u8],
    ) -> Result<DaemonView, DocumentError> {
        let mut delta: Value = serde_json::from_slice(delta_bytes)?;
        if delta["base"] != json!(self.version.0) {
            return Err(DocumentError::WrongBase);
        }
        let put = PutRecords::take(&mut delta);
        let changed_view = read_all(&delta, |root| self.read_delta(root, put))?;
        if changed_view.digest() != digest {
            return Err(DocumentError::WrongDigest);
        }
        Ok(changed_view)
    }

    fn read_delta(&self, root: &PathReader<'_>, put: PutRecords) -> Option<DaemonView> {
        let (spec, generations) = apply_catalogue_delta(root, put, self.catalogue())?;
        Some(Self {
            version: Version(root.field("serial").number(0..=u64::MAX)?),
            spec,
            generations,
            evacuated: read_evacuated(&root.field("evacuated")),
            voters: read_voter_addresses(&root.field("core")),
        })
    }

    /// Validates the spec and returns it.
    ///
    /// # Errors
    /// [`DocumentError::Path`] with the first error found.
    pub fn check_spec(&self) -> Result<Spec, DocumentError> {
        self.spec.check().map_err(|errors| {
            let missing = PathError {
                path: String::new(),
                reason: PathErrorReason::Missing,
            };
            DocumentError::Path(errors.into_iter().next().unwrap_or(missing))
        })
    }
}
