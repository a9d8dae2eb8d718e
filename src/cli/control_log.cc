#include "src/cli/control_log.h"

#include <algorithm>
#include <random>
#include <utility>

#include "cowslipmast/codec.h"
#include "src/core/random.h"

namespace cowslipmast {

namespace {

const StreamId kControlStream("control");
// 32 configuration texts of the maximum size fit into one response.
constexpr uint32_t kEntriesPerRead = 32;
constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr Duration kRetryPause = std::chrono::milliseconds(200);

ProducerId NewProducerId() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  Random random(seed);
  return MakeProducerId(random);
}

}  // namespace

ControlLog::ControlLog(HttpClient& http,
                       const Endpoint& store,
                       Clock::time_point deadline)
    : m_client(LogClient::Make(http, store)), m_deadline(deadline) {}

std::unique_ptr<ControlLog> ControlLog::Make(HttpClient& http,
                                             const Endpoint& store,
                                             Clock::time_point deadline) {
  return std::unique_ptr<ControlLog>(new ControlLog(http, store, deadline));
}

Duration ControlLog::CallTimeout() const {
  const auto left =
      std::chrono::duration_cast<Duration>(m_deadline - Clock::now());
  return std::clamp(left, Duration(0), kCallTimeout);
}

asio::awaitable<void> ControlLog::Pause() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::min(kRetryPause, CallTimeout()));
  co_await timer.async_wait(asio::use_awaitable);
}

void ControlLog::Apply(const LogEntry& entry) {
  DecodeError decode_error;
  const auto batch = DecodeBatch(entry.data, decode_error);
  const bool was_complete = m_fold->complete();
  const ConfigVersion before = state().config_version;
  m_fold->Apply(entry.offset, entry.data);
  m_next = entry.offset.Next();
  if (!batch)
    return;
  if (batch->producer == m_producer && !m_own_offset)
    m_own_offset = entry.offset;
  const bool accepted = was_complete && state().config_version > before;
  for (const Record& record : batch->records) {
    const auto* published = std::get_if<ConfigPublished>(&record);
    if (!published)
      continue;
    const bool current = accepted && published->text == state().config_text;
    m_published.push_back({entry.offset,
                           current ? state().config_version : ConfigVersion(),
                           *published});
  }
}

bool ControlLog::ApplyPage(const LogPage& page, NetError& reason) {
  if (page.expired) {
    m_fold->Restart(page.oldest);
    m_next = page.oldest;
    m_published.clear();
    return true;
  }
  for (const LogEntry& entry : page.entries) {
    if (entry.offset != m_next) {
      reason = {NetErrorKind::kBadResponse, true,
                "log entries are not in the order of their offsets"};
      return false;
    }
    Apply(entry);
  }
  if (page.entries.empty() && m_next < page.end) {
    reason = {NetErrorKind::kBadResponse, true,
              "the log returned no entries before its end"};
    return false;
  }
  return true;
}

asio::awaitable<bool> ControlLog::CatchUp(NetError& reason) {
  while (true) {
    const Duration timeout = CallTimeout();
    const auto page = co_await m_client->Read(
        kControlStream, m_next, kEntriesPerRead, Duration(0), timeout, reason);
    const bool applied = page && ApplyPage(*page, reason);
    if (applied && !page->expired && m_next >= page->end) {
      if (m_fold->complete())
        co_return true;
      reason = {NetErrorKind::kBadResponse, true,
                "old log entries have expired and there is no snapshot"};
      co_return false;
    }
    if (DeadlinePassed())
      co_return false;
    if (!applied)
      co_await Pause();
  }
}

asio::awaitable<AppendOutcome> ControlLog::Append(
    Record record,
    std::function<bool(const ControlState&)> is_superseded,
    NetError& reason) {
  m_producer = NewProducerId();
  m_own_offset.reset();
  const std::string entry =
      EncodeBatch({m_producer, BatchSequence(1), {std::move(record)}});
  bool sent = false;
  while (!DeadlinePassed()) {
    const Duration timeout = CallTimeout();
    reason = NetError();
    const auto offset =
        co_await m_client->Append(kControlStream, entry, timeout, reason);
    sent = sent || offset || reason.request_sent;
    const bool caught_up = co_await CatchUp(reason);
    if (m_own_offset)
      co_return AppendOutcome::kAppended;
    if (caught_up && is_superseded(state()))
      co_return AppendOutcome::kSuperseded;
    if (!caught_up)
      break;
    co_await Pause();
  }
  co_return sent ? AppendOutcome::kUnknown : AppendOutcome::kNotSent;
}

const PublishedConfig* ControlLog::FindAccepted(ConfigVersion version,
                                                LogOffset before) const {
  for (const PublishedConfig& published : m_published) {
    if (published.version == version)
      return &published;
  }
  // Entries before the snapshot were not applied one by one, so their versions
  // are unknown. The accepted publish is the first valid one whose base is the
  // previous version.
  const ConfigVersion base(version.value() - 1);
  for (const PublishedConfig& published : m_published) {
    std::vector<ConfigError> reasons;
    if (published.record.base_version == base && published.offset < before &&
        ParseConfig(published.record.text, reasons))
      return &published;
  }
  return nullptr;
}

std::vector<PublishedConfig> ControlLog::History() const {
  std::vector<PublishedConfig> history;
  LogOffset before = m_next;
  for (uint64_t version = state().config_version.value(); version > 0;
       --version) {
    const PublishedConfig* found = FindAccepted(ConfigVersion(version), before);
    if (!found)
      break;
    history.push_back(*found);
    history.back().version = ConfigVersion(version);
    before = found->offset;
  }
  std::reverse(history.begin(), history.end());
  return history;
}

bool ControlLog::OwnPublishAccepted() const {
  const auto history = History();
  return m_own_offset && std::any_of(history.begin(), history.end(),
                                     [&](const PublishedConfig& published) {
                                       return published.offset == *m_own_offset;
                                     });
}

}  // namespace cowslipmast
