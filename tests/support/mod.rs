//! Helpers shared by the test binaries.

/// Defines a test for each named case, which calls `$run` with the case's arguments.
macro_rules! cases {
    ($run:ident; $($name:ident($($arg:expr),* $(,)?)),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                $run($($arg),*);
            }
        )+
    };
}

pub(crate) use cases;
