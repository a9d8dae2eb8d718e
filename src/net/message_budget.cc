#include "src/net/message_budget.h"

#include <iterator>
#include <utility>
#include <vector>

#include "src/net/connection_choice.h"

namespace cowslipmast {

MessageBudget::MessageBudget(size_t bytes) : m_limit(bytes) {}

std::shared_ptr<MessageBudget> MessageBudget::Make(size_t bytes) {
  return std::shared_ptr<MessageBudget>(new MessageBudget(bytes));
}

std::unique_ptr<MessageBudget::Share> MessageBudget::Join(
    const std::shared_ptr<MessageBudget>& budget,
    std::function<void()> give_up) {
  return std::unique_ptr<Share>(new Share(budget, std::move(give_up)));
}

void MessageBudget::GiveUpLargest() {
  std::vector<MessageUse> uses;
  uses.reserve(m_shares.size());
  for (const Share* share : m_shares)
    uses.push_back({share->m_bytes, share->m_is_complete});
  const auto chosen = ChooseToShed(uses);
  if (!chosen)
    return;
  Share& share =
      **std::next(m_shares.begin(), static_cast<std::ptrdiff_t>(*chosen));
  m_used -= std::exchange(share.m_bytes, 0);
  share.m_is_given_up = true;
  share.m_is_complete = true;  // not chosen again
  ++m_given_up;
  share.m_give_up();
}

MessageBudget::Share::Share(std::shared_ptr<MessageBudget> budget,
                            std::function<void()> give_up)
    : m_budget(std::move(budget)), m_give_up(std::move(give_up)) {
  m_position = m_budget->m_shares.insert(m_budget->m_shares.end(), this);
}

MessageBudget::Share::~Share() {
  m_budget->m_used -= m_bytes;
  m_budget->m_shares.erase(m_position);
}

void MessageBudget::Share::SetBytes(size_t bytes) {
  if (m_is_given_up)
    return;
  m_budget->m_used += bytes - m_bytes;
  m_bytes = bytes;
  if (m_budget->m_used > m_budget->m_limit)
    m_budget->GiveUpLargest();
}

void MessageBudget::Share::SetComplete() {
  m_is_complete = true;
}

void MessageBudget::Share::SetIncomplete() {
  m_is_complete = m_is_given_up;
}

}  // namespace cowslipmast
