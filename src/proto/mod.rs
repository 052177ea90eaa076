//! Protobuf messages between daemons, generated from `*.proto` by `tools/codegen`.

#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
pub mod advice;

#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer;

#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
pub mod relay;
