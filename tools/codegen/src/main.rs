//! Generates `src/proto/*.rs` from `src/proto/*.proto`. Run it in the directory `tools/codegen`,
//! since its paths are relative.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["peer.proto", "advice.proto", "relay.proto"], ["../../src/proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir("../../src/proto")
        .compile_fds(descriptors)?;
    for name in ["peer", "advice", "relay"] {
        std::fs::rename(
            format!("../../src/proto/ragwortstall.{name}.rs"),
            format!("../../src/proto/{name}.rs"),
        )?;
    }
    Ok(())
}
