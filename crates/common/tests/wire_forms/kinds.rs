//! Lists of the names of an enum's variants, kept complete by the compiler.

/// Defines a list of the names of an enum's variants, and a function that returns the name of a value's variant. The
/// function matches without a wildcard, so that a missing variant is a compile error. Each listed name must have a form
/// in the fixture.
macro_rules! kinds {
    ($names:ident, $name_of:ident, $type:ty, { $($pattern:pat => $name:literal,)+ }) => {
        /// The names of all variants.
        pub const $names: &[&str] = &[$($name),+];

        /// Returns the name of a value's variant.
        pub fn $name_of(value: &$type) -> &'static str {
            match value {
                $($pattern => $name,)+
            }
        }
    };
}

pub(crate) use kinds;
