//! Whose call a request is, by the teams and credentials of a configuration.

mod fleet_common;

use almondsail_core::fleet::{
    CallerIdentity, CredentialDigest, MeshConfig, MeshConfigBuilder, MeshRoute, SentCredential,
    ServiceSettings, Team,
};
use almondsail_core::ids::ConfigVersion;
use fleet_common::route;

fn digest(credential: &str) -> CredentialDigest {
    CredentialDigest::of(credential.as_bytes())
}

fn config(teams: &[(&str, &[&str])]) -> MeshConfig {
    let bays = ServiceSettings { connections: 130, ..Default::default() };
    let builder = MeshConfigBuilder::new(ConfigVersion::new(1))
        .service("bays".parse().unwrap(), bays)
        .route(route("closed", "/closed/", "bays"))
        .route(MeshRoute { is_public: true, ..route("open", "/open/", "bays") });
    let add = |builder: MeshConfigBuilder, (name, credentials): &(&str, &[&str])| {
        let team = Team { name: name.parse().unwrap(), priority: 1, quota: None };
        builder.team(team, credentials.iter().map(|credential| digest(credential)).collect())
    };
    teams.iter().fold(builder, add).build().unwrap()
}

fn identity(config: &MeshConfig, path: &str, sent: SentCredential) -> CallerIdentity {
    CallerIdentity::of(config, config.route("a.example", path).unwrap(), sent)
}

/// Guards against a call that runs without a valid credential, or for another team than its own.
#[test]
fn identity_every_credential() {
    let config = config(&[("acme", &["k-1", "k-2"]), ("lone", &["k-3"]), ("keyless", &[])]);
    let team = |path: &str, credential: &str| {
        let identity = identity(&config, path, SentCredential::Sent(digest(credential)));
        identity.team().map(|team| team.name.to_string())
    };
    for path in ["/closed/", "/open/"] {
        assert_eq!(team(path, "k-1").as_deref(), Some("acme"));
        assert_eq!(team(path, "k-2").as_deref(), Some("acme"));
        assert_eq!(team(path, "k-3").as_deref(), Some("lone"));
        let unknown = SentCredential::Sent(digest("k-4"));
        for sent in [unknown, SentCredential::Malformed] {
            assert_eq!(identity(&config, path, sent), CallerIdentity::Unknown, "{path} {sent:?}");
        }
    }
    let missing = SentCredential::Missing;
    assert_eq!(identity(&config, "/closed/", missing), CallerIdentity::Unknown);
    assert_eq!(identity(&config, "/open/", missing), CallerIdentity::Public);
}

/// Guards against refusing calls of a fleet whose configuration has no teams.
#[test]
fn identity_without_teams() {
    let config = config(&[]);
    for sent in
        [SentCredential::Missing, SentCredential::Malformed, SentCredential::Sent(digest("k-1"))]
    {
        assert_eq!(identity(&config, "/closed/", sent), CallerIdentity::WithoutTeams);
    }
}

/// Guards against a credential that a log line of the digest or of the configuration shows.
#[test]
fn debug_hides_credentials() {
    let config = config(&[("acme", &["k-1"])]);
    assert!(!format!("{config:?}").contains("k-1"));
    assert_eq!(format!("{:?}", digest("k-1")), "CredentialDigest(..)");
}
