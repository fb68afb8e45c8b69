//! Tests the interface of the test store in a process of its own.

use almondsail_testkit::harness::{Binary, Harness, Launch, wait_until};
use almondsail_testkit::http::{HttpClient, Reply};
use almondsail_testkit::store::{StoreCounts, StoreMode};
use eyre::{Result, ensure};

async fn start(options: &[(&str, &str)]) -> Result<(Harness, HttpClient)> {
    let mut harness = Harness::new()?;
    let launch =
        Launch::new(Binary::Store, "store").with_option("listen", harness.any_port().to_string());
    let launch =
        options.iter().fold(launch, |launch, (name, value)| launch.with_option(name, value));
    let id = harness.start(launch).await?;
    let client = HttpClient::new(harness.address(id, "address")?);
    Ok((harness, client))
}

async fn set_mode(store: &HttpClient, mode: StoreMode) -> Result<()> {
    store.put("/control/mode", serde_json::to_vec(&mode)?).await?.success()
}

async fn wait_for_watches(store: &HttpClient, number: u64) -> Result<()> {
    wait_until("the watch", || async {
        let counts: StoreCounts = store.get("/control/counts").await?.json()?;
        ensure!(counts.watches == number, "{counts:?}");
        Ok(())
    })
    .await
}

fn revision(reply: &Reply) -> &str {
    reply.header("x-revision").unwrap_or("none")
}

// Guards against writes that ignore the expected revision.
#[tokio::test]
async fn put_stale_revision() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    let absent = store.get("/v1/kv/a/b").await?;
    assert_eq!((absent.status.as_u16(), revision(&absent)), (404, "0"));

    let first = store.put("/v1/kv/a/b?revision=0", "one").await?;
    assert_eq!((first.status.as_u16(), revision(&first)), (200, "1"));
    let stale = store.put("/v1/kv/a/b?revision=0", "two").await?;
    assert_eq!((stale.status.as_u16(), revision(&stale)), (409, "1"));

    let present = store.get("/v1/kv/a/b").await?;
    assert_eq!((&present.body[..], revision(&present)), (&b"one"[..], "1"));
    Ok(())
}

// Guards against storing values above the limit of 1,000,000 bytes.
#[tokio::test]
async fn put_over_limit() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    let largest = store.put("/v1/kv/k?revision=0", vec![7; 1_000_000]).await?;
    assert_eq!(largest.status, 200);
    let over = store.put("/v1/kv/k?revision=1", vec![7; 1_000_001]).await?;
    assert_eq!(over.status, 413);
    assert_eq!(revision(&store.get("/v1/kv/k").await?), "1");
    Ok(())
}

// Guards against watches that miss a change or never time out.
#[tokio::test]
async fn watch_change_and_timeout() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    let unchanged = store.get("/v1/kv/k?watch=0&timeout_ms=20").await?;
    assert_eq!(unchanged.status, 304);

    let watcher = store.clone();
    let watch = tokio::spawn(async move { watcher.get("/v1/kv/k?watch=0").await });
    wait_for_watches(&store, 2).await?;
    store.put("/v1/kv/k?revision=0", "new").await?.success()?;
    let changed = watch.await??;
    assert_eq!((&changed.body[..], revision(&changed)), (&b"new"[..], "1"));
    Ok(())
}

// Guards against keys that remain after the lease they are bound to has expired.
#[tokio::test]
async fn lease_expired() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    let id = store.post("/v1/leases?ttl_ms=300", "").await?;
    let id = String::from_utf8(id.body.to_vec())?;
    let target = format!("/v1/kv/k?revision=0&lease={id}");
    store.put(&target, "bound").await?.success()?;

    let gone = store.get("/v1/kv/k?watch=1").await?;
    assert_eq!((gone.status.as_u16(), revision(&gone)), (404, "0"));
    assert_eq!(store.put(&format!("/v1/leases/{id}"), "").await?.status, 404);
    assert_eq!(store.put(&target, "late").await?.status, 404);
    Ok(())
}

// Guards against a renewal that fails, and against keys that remain after their lease
// was ended.
#[tokio::test]
async fn lease_renewed_and_ended() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    let id = store.post("/v1/leases?ttl_ms=60000", "").await?;
    let id = String::from_utf8(id.body.to_vec())?;
    store.put(&format!("/v1/kv/k?revision=0&lease={id}"), "bound").await?.success()?;
    store.put(&format!("/v1/leases/{id}"), "").await?.success()?;
    store.get("/v1/kv/k").await?.success()?;
    store.delete(&format!("/v1/leases/{id}")).await?.success()?;
    assert_eq!(store.get("/v1/kv/k").await?.status, 404);
    Ok(())
}

// Guards against an outage in which writes succeed or watches keep waiting.
#[tokio::test]
async fn mode_down() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    let watcher = store.clone();
    let watch = tokio::spawn(async move { watcher.get("/v1/kv/k?watch=0").await });
    wait_for_watches(&store, 1).await?;
    set_mode(&store, StoreMode { down: true, ..StoreMode::default() }).await?;
    assert_eq!(watch.await??.status, 503);
    assert_eq!(store.put("/v1/kv/k?revision=0", "x").await?.status, 503);
    assert_eq!(store.post("/v1/leases?ttl_ms=100", "").await?.status, 503);

    set_mode(&store, StoreMode::default()).await?;
    assert_eq!(store.get("/v1/kv/k").await?.status, 404);
    let counts: StoreCounts = store.get("/control/counts").await?.json()?;
    let expected = StoreCounts { reads: 1, writes: 1, watches: 1, leases: 1, refused: 3 };
    assert_eq!(counts, expected);
    Ok(())
}

// Guards against a lost answer whose write is lost too, and against losing more than
// the requested number of answers.
#[tokio::test]
async fn mode_lose_answers() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    set_mode(&store, StoreMode { lose_answers: 1, ..StoreMode::default() }).await?;
    assert!(store.put("/v1/kv/k?revision=0", "one").await.is_err());
    assert_eq!(&store.get("/v1/kv/k").await?.body[..], b"one");
    store.put("/v1/kv/k?revision=1", "two").await?.success()?;
    Ok(())
}

// Guards against control requests that can't store an arbitrary value or reset the counts.
#[tokio::test]
async fn control_value() -> Result<()> {
    let (_harness, store) = start(&[]).await?;
    store.put("/control/value/almondsail/config", vec![0xff, 0x00]).await?.success()?;
    let planted = store.get("/v1/kv/almondsail/config").await?;
    assert_eq!((&planted.body[..], revision(&planted)), (&[0xff, 0x00][..], "1"));
    store.delete("/control/counts").await?.success()?;
    let counts: StoreCounts = store.get("/control/counts").await?.json()?;
    assert_eq!(counts, StoreCounts::default());
    Ok(())
}

// Guards against rate limits that are not enforced: with a limit of one write per
// second, at least one of 32 concurrent writes must be rejected.
#[tokio::test]
async fn rate_limit_writes() -> Result<()> {
    let (_harness, store) = start(&[("writes", "1/s")]).await?;
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..32 {
        let store = store.clone();
        tasks.spawn(async move { store.put(&format!("/v1/kv/{n}?revision=0"), "x").await });
    }
    let mut refused = 0;
    while let Some(reply) = tasks.join_next().await {
        refused += usize::from(reply??.status == 503);
    }
    assert!(refused > 0);
    Ok(())
}
