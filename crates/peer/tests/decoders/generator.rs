//! Generates random values of any type that implements `Deserialize`, from a seeded generator.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::de::value::{BytesDeserializer, StrDeserializer};
use serde::de::{self, DeserializeSeed, Deserializer, IntoDeserializer, Visitor};

/// Error of the generator, such as a value that violates a bound of the type.
pub(crate) type GenerateError = de::value::Error;

/// A deserializer that produces a random value of each requested type.
pub(crate) struct ValueGenerator<'a> {
    pub(crate) rng: &'a mut ChaCha8Rng,
    pub(crate) depth: u32,
}

/// Most elements of a list or map.
const MAX_LENGTH: usize = 4;

/// Lists and maps nested deeper than this are empty, and options are absent.
const MAX_DEPTH: u32 = 12;

/// Values of strings: plain, empty, with multi-byte characters, with control characters.
const SAMPLE_STRINGS: [&str; 6] = ["", "vadodara-a-01", "გორი", "a/b/c", "\u{0}\n\"", "job/1/0/0"];

impl ValueGenerator<'_> {
    fn length(&mut self) -> usize {
        if MAX_DEPTH < self.depth { 0 } else { self.rng.random_range(0..=MAX_LENGTH) }
    }

    fn nested(&mut self) -> ValueGenerator<'_> {
        ValueGenerator { rng: self.rng, depth: self.depth + 1 }
    }

    /// Draws small numbers, `u64::MAX` and powers of two more often than other numbers.
    fn number(&mut self) -> u64 {
        match self.rng.random_range(0..4) {
            0 => self.rng.random_range(0..10),
            1 => u64::MAX,
            2 => 1 << self.rng.random_range(0..64),
            _ => self.rng.random(),
        }
    }
}

macro_rules! numbers {
    ($($method:ident $visit:ident $type:ty;)*) => {
        $(fn $method<V: Visitor<'de>>(mut self, visitor: V) -> Result<V::Value, GenerateError> {
            visitor.$visit(self.number() as $type)
        })*
    };
}

macro_rules! strings {
    ($($method:ident)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, GenerateError> {
            visitor.visit_string(
                SAMPLE_STRINGS[self.rng.random_range(0..SAMPLE_STRINGS.len())].to_owned(),
            )
        })*
    };
}

macro_rules! byte_strings {
    ($($method:ident)*) => {
        // Sixteen bytes, because a UUID has this length and all other fields of bytes accept it.
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, GenerateError> {
            visitor.visit_byte_buf(self.rng.random::<[u8; 16]>().to_vec())
        })*
    };
}

impl<'de> Deserializer<'de> for ValueGenerator<'_> {
    type Error = GenerateError;

    numbers! {
        deserialize_i8 visit_i8 i8;
        deserialize_i16 visit_i16 i16;
        deserialize_i32 visit_i32 i32;
        deserialize_i64 visit_i64 i64;
        deserialize_u8 visit_u8 u8;
        deserialize_u16 visit_u16 u16;
        deserialize_u32 visit_u32 u32;
        deserialize_u64 visit_u64 u64;
        deserialize_f32 visit_f32 f32;
        deserialize_f64 visit_f64 f64;
    }

    strings! { deserialize_str deserialize_string deserialize_identifier deserialize_any }

    byte_strings! { deserialize_bytes deserialize_byte_buf }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, GenerateError> {
        visitor.visit_bool(self.rng.random())
    }

    fn deserialize_char<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, GenerateError> {
        visitor.visit_char('x')
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, GenerateError> {
        if MAX_DEPTH < self.depth || self.rng.random() {
            return visitor.visit_none();
        }
        visitor.visit_some(self)
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, GenerateError> {
        visitor.visit_unit()
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        visitor.visit_unit()
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(mut self, visitor: V) -> Result<V::Value, GenerateError> {
        let n_left = self.length();
        visitor.visit_seq(ElementGenerator { generator: self, n_left })
    }

    fn deserialize_tuple<V: Visitor<'de>>(
        self,
        n_left: usize,
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        visitor.visit_seq(ElementGenerator { generator: self, n_left })
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        n_left: usize,
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        visitor.visit_seq(ElementGenerator { generator: self, n_left })
    }

    fn deserialize_map<V: Visitor<'de>>(mut self, visitor: V) -> Result<V::Value, GenerateError> {
        let n_left = self.length();
        visitor.visit_map(EntryGenerator { generator: self, n_left })
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        visitor.visit_map(FieldGenerator { generator: self, fields })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        let variant = variants[self.rng.random_range(0..variants.len())];
        visitor.visit_enum(VariantGenerator { generator: self, variant })
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        visitor.visit_unit()
    }

    fn is_human_readable(&self) -> bool {
        false
    }
}

struct ElementGenerator<'a> {
    generator: ValueGenerator<'a>,
    n_left: usize,
}

impl<'de> de::SeqAccess<'de> for ElementGenerator<'_> {
    type Error = GenerateError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, GenerateError> {
        let Some(n_left) = self.n_left.checked_sub(1) else { return Ok(None) };
        self.n_left = n_left;
        seed.deserialize(self.generator.nested()).map(Some)
    }
}

struct EntryGenerator<'a> {
    generator: ValueGenerator<'a>,
    n_left: usize,
}

impl<'de> de::MapAccess<'de> for EntryGenerator<'_> {
    type Error = GenerateError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, GenerateError> {
        let Some(n_left) = self.n_left.checked_sub(1) else { return Ok(None) };
        self.n_left = n_left;
        seed.deserialize(self.generator.nested()).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, GenerateError> {
        seed.deserialize(self.generator.nested())
    }
}

struct FieldGenerator<'a> {
    generator: ValueGenerator<'a>,
    fields: &'static [&'static str],
}

impl<'de> de::MapAccess<'de> for FieldGenerator<'_> {
    type Error = GenerateError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, GenerateError> {
        let Some((field, rest)) = self.fields.split_first() else { return Ok(None) };
        self.fields = rest;
        let name: StrDeserializer<'_, GenerateError> = field.into_deserializer();
        seed.deserialize(name).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, GenerateError> {
        seed.deserialize(self.generator.nested())
    }
}

struct VariantGenerator<'a> {
    generator: ValueGenerator<'a>,
    variant: &'static str,
}

impl<'de, 'a> de::EnumAccess<'de> for VariantGenerator<'a> {
    type Error = GenerateError;
    type Variant = ContentGenerator<'a>;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, ContentGenerator<'a>), GenerateError> {
        let name: BytesDeserializer<'_, GenerateError> =
            BytesDeserializer::new(self.variant.as_bytes());
        Ok((seed.deserialize(name)?, ContentGenerator(self.generator)))
    }
}

struct ContentGenerator<'a>(ValueGenerator<'a>);

impl<'de> de::VariantAccess<'de> for ContentGenerator<'_> {
    type Error = GenerateError;

    fn unit_variant(self) -> Result<(), GenerateError> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(
        mut self,
        seed: T,
    ) -> Result<T::Value, GenerateError> {
        seed.deserialize(self.0.nested())
    }

    fn tuple_variant<V: Visitor<'de>>(
        self,
        length: usize,
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        self.0.deserialize_tuple(length, visitor)
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, GenerateError> {
        self.0.deserialize_struct("", fields, visitor)
    }
}
