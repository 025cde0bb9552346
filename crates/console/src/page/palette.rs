//! Colours and letters by which a page tells client accounts apart.

use almondpass_schema::model;

/// Colours of the style sheet, `account-0` to `account-9`.
const N_COLOURS: usize = 10;

/// Gives each account a colour and a letter, by its place in the document.
pub(crate) struct AccountPalette<'a> {
    accounts: &'a [model::ClientAccount],
}

impl<'a> AccountPalette<'a> {
    pub(crate) fn new(accounts: &'a [model::ClientAccount]) -> AccountPalette<'a> {
        AccountPalette { accounts }
    }

    /// The class of the style sheet for an account's colour.
    pub(crate) fn class(&self, account: &str) -> String {
        let index = self.index(account);
        index.map_or_else(|| "account-other".to_owned(), |it| format!("account-{}", it % N_COLOURS))
    }

    /// A letter for those who do not see the colour.
    pub(crate) fn letter(&self, account: &str) -> char {
        let index = self.index(account).and_then(|it| u8::try_from(it).ok());
        index.filter(|it| *it < 26).map_or('*', |it| char::from(b'A' + it))
    }

    /// The accounts in the order of the document.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = &'a model::ClientAccount> {
        self.accounts.iter()
    }

    fn index(&self, account: &str) -> Option<usize> {
        self.accounts.iter().position(|it| it.id == account)
    }
}
