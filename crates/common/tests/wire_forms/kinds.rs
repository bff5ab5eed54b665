//! Lists of an enum's variants that cannot fall behind it.

/// Makes a list of the variants' names, and a function that names a value's variant by a match without a wildcard:
/// a variant that is not listed does not compile, and one that is listed needs a form in the fixture.
macro_rules! kinds {
    ($names:ident, $name_of:ident, $type:ty, { $($pattern:pat => $name:literal,)+ }) => {
        /// The names of all variants.
        pub const $names: &[&str] = &[$($name),+];

        /// The name of a value's variant.
        pub fn $name_of(value: &$type) -> &'static str {
            match value {
                $($pattern => $name,)+
            }
        }
    };
}

pub(crate) use kinds;
