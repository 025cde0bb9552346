//! Calls over sockets to a site of fakes.

use std::time::Duration;

use almondpass_peer::client;
use almondpass_ports::instances::InstanceList;
use almondpass_ports::objects::ObjectStore;
use almondpass_ports::remote;
use almondpass_ports::table::TableService;
use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{blob, ids, model, time};
use almondpass_standin::{fault, plan, site, upstream, worker};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Deadline of calls, long enough never to expire in these tests.
const CALL_DEADLINE: Duration = Duration::from_secs(60);

fn workers(n: u32) -> Vec<plan::WorkerPlan> {
    let shape = |number| worker::WorkerShape {
        id: format!("vadodara-a-{number:02}"),
        data_center: "vadodara".to_owned(),
        accelerators: 8,
        slots: 8,
        cores: 32,
        memory_mb: 65_536,
    };
    let upstreams = vec!["oil-analysis".to_owned()];
    (1..=n).map(|it| plan::WorkerPlan { shape: shape(it), upstreams: upstreams.clone() }).collect()
}

async fn start(n: u32) -> (site::SiteServer, client::PeerClient) {
    let site = site::SiteServer::start(&workers(n), Duration::ZERO).await.unwrap();
    (site, client::PeerClient::new(client::ClientConfig::default()).unwrap())
}

fn service(
    site: &site::SiteServer,
    client: &client::PeerClient,
) -> remote::RemoteService<client::PeerClient> {
    remote::RemoteService::new(client.clone(), site.address.clone(), CALL_DEADLINE)
}

#[tokio::test]
async fn table_answers_over_sockets() {
    let (site, client) = start(1).await;
    let table = remote::RemoteTable(service(&site, &client));
    let key = "job/utility/1".to_owned();
    let value = Some(blob::Blob::from(b"queued".to_vec()));
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: key.clone(), version: 0 }],
        writes: vec![model::TableWrite { key: key.clone(), value: value.clone() }],
    };
    let row = model::TableRow { key: key.clone(), version: 1, value };
    let committed = table.transact(transaction.clone()).await;
    assert_eq!(committed, Ok(model::TableOutcome::Committed { versions: vec![1] }));
    let repeated = table.transact(transaction).await;
    assert_eq!(repeated, Ok(model::TableOutcome::Conflict { rows: vec![row.clone()] }));
    let got = table.get(model::TableGet { keys: vec![key, "none".to_owned()] }).await.unwrap();
    let none = model::TableRow { key: "none".to_owned(), version: 0, value: None };
    assert_eq!(got.rows, [row.clone(), none]);
    let scan = model::TableScan { prefix: "job/".to_owned(), after: None, limit: 10 };
    assert_eq!(table.scan(scan).await.unwrap().rows, [row]);
}

#[tokio::test]
async fn object_is_put_once() {
    let (site, client) = start(1).await;
    let objects = remote::RemoteObjects(service(&site, &client));
    let put = |value: &[u8]| model::ObjectPut {
        key: "intent/vadodara/1".to_owned(),
        value: blob::Blob::from(value.to_vec()),
    };
    assert_eq!(objects.put(put(b"first")).await, Ok(model::ObjectPutOutcome::Created));
    assert_eq!(objects.put(put(b"second")).await, Ok(model::ObjectPutOutcome::Exists));
    let found = objects.get(model::ObjectGet { key: put(b"").key }).await.unwrap();
    assert_eq!(found.value.unwrap().as_slice(), b"first");
}

#[tokio::test]
async fn faults_reach_the_caller_over_sockets() {
    let (site, client) = start(1).await;
    let instances = remote::RemoteInstances(service(&site, &client));
    assert_eq!(instances.list(model::InstanceQuery::default()).await.unwrap().instances.len(), 1);
    site.fakes.instances().faults().set(fault::Condition::Refusing);
    assert!(
        instances.list(model::InstanceQuery::default()).await.unwrap_err().fault.had_no_effect()
    );
    site.fakes.instances().faults().set(fault::Condition::Up);
    site.fakes.instances().faults().inject_next("/v1/instances", fault::Fault::AnswerLost);
    assert!(
        !instances.list(model::InstanceQuery::default()).await.unwrap_err().fault.had_no_effect()
    );
}

/// 100 workers are twice the size of a present hall. More would need more file descriptors than the default
/// limit of a newly installed machine allows.
#[tokio::test]
async fn large_site_answers() {
    let (site, client) = start(100).await;
    let control = remote::RemoteWorkers::new(client, CALL_DEADLINE);
    for (address, _) in site.fakes.fleet.workers() {
        let reserve = model::LeaseReserve {
            lease: "job/1".to_owned(),
            accelerators: vec![0],
            slots: 1,
            cores: 1,
            memory_mb: 256,
            term: time::TimeSpan::from_secs(30),
        };
        let reserved = control.reserve(&address, reserve).await;
        assert_eq!(reserved, Ok(model::LeaseReserved::Granted));
        assert_eq!(control.leases(&address).await.unwrap().leases.len(), 1);
    }
}

/// Result of one exchange, as the caller observes it.
#[derive(Debug, PartialEq)]
enum ObservedAnswer {
    Whole { status: u16, id: Option<String>, body: String },
    NoAnswer,
    CutShort,
}

async fn exchange(address: &ids::PeerAddress, id: &str, body: &str) -> ObservedAnswer {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let request = http::Request::post("/").header(upstream::REQUEST_ID, id).body(body).unwrap();
    let Ok(response) = sender.send_request(request).await else { return ObservedAnswer::NoAnswer };
    let status = response.status().as_u16();
    let id = response.headers().get(upstream::REQUEST_ID).cloned();
    let id = id.map(|it| it.to_str().unwrap().to_owned());
    let Ok(body) = response.into_body().collect().await else { return ObservedAnswer::CutShort };
    let body = String::from_utf8(body.to_bytes().to_vec()).unwrap();
    ObservedAnswer::Whole { status, id, body }
}

fn whole(status: u16, id: Option<&str>, body: &str) -> ObservedAnswer {
    ObservedAnswer::Whole { status, id: id.map(str::to_owned), body: body.to_owned() }
}

macro_rules! misbehaviours {
    ($($name:ident: $misbehaviour:expr => $expected:expr, executed $executed:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (site, _) = start(1).await;
            let (address, fake) = site.fakes.upstreams.iter().next().unwrap();
            if let Some(misbehaviour) = $misbehaviour {
                fake.misbehave_next(misbehaviour);
            }
            assert_eq!(exchange(address, "id-1", "plate").await, $expected);
            assert_eq!(site.fakes.executions.count("id-1"), $executed);
        })*
    };
}

misbehaviours! {
    upstream_answers_with_the_body:
        None => whole(200, Some("id-1"), "plate"), executed 1;
    refusing_upstream_executes_nothing:
        Some(upstream::Misbehaviour::Refuse) => whole(503, None, ""), executed 0;
    disconnecting_upstream_executes_nothing:
        Some(upstream::Misbehaviour::Disconnect) => ObservedAnswer::NoAnswer, executed 0;
    upstream_that_does_not_answer_executes:
        Some(upstream::Misbehaviour::NoAnswer) => ObservedAnswer::NoAnswer, executed 1;
    upstream_that_answers_with_an_error_executes:
        Some(upstream::Misbehaviour::Error) => whole(500, Some("id-1"), ""), executed 1;
    crossed_answer_has_the_id_of_another_request:
        Some(upstream::Misbehaviour::CrossedId)
        => whole(200, Some("00000000-0000-7000-8000-000000000000"), "plate"), executed 1;
    answer_has_no_id:
        Some(upstream::Misbehaviour::MissingId) => whole(200, None, "plate"), executed 1;
    answer_is_cut_short:
        Some(upstream::Misbehaviour::CutShort) => ObservedAnswer::CutShort, executed 1;
    slow_answer_is_whole:
        Some(upstream::Misbehaviour::Slow(Duration::from_millis(1)))
        => whole(200, Some("id-1"), "plate"), executed 1;
}

/// Writes one request to a plain socket and returns all bytes received until the connection closes.
async fn raw_answer(misbehaviour: upstream::Misbehaviour) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (site, _) = start(1).await;
    let (address, fake) = site.fakes.upstreams.iter().next().unwrap();
    fake.misbehave_next(misbehaviour);
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST / HTTP/1.1\r\nx-request-id: id-1\r\nconnection: close\r\n";
    let request = format!("{head}content-length: 5\r\n\r\nplate");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn duplicate_answer_is_sent_twice() {
    let answer = raw_answer(upstream::Misbehaviour::Duplicate).await;
    assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 2);
    assert_eq!(answer.matches("plate").count(), 2);
}

#[tokio::test]
async fn extra_bytes_follow_the_answer() {
    let answer = raw_answer(upstream::Misbehaviour::ExtraBytes).await;
    assert!(answer.ends_with("plateand then some"), "{answer}");
}
