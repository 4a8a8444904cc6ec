#include <control/ControlThread.h>

#include <caf/all.hpp>

#include <atomic>

namespace {

// A task for the control thread. It is never serialized: messages stay within the process.
struct ControlTask
{
  std::function<void()> run;
};

} // namespace

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ControlTask)

namespace sycamore::control {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;

struct TickState
{
  base::Duration interval{};
  std::function<void()> onTick;
};

caf::behavior runControl(caf::event_based_actor* self, std::shared_ptr<TickState> tick)
{
  return { [](const ControlTask& task) { task.run(); },
           [self, tick](TickAtom) {
             tick->onTick();
             self->delayed_send(self, tick->interval, TickAtom::value);
           } };
}

caf::actor_system_config& configure(caf::actor_system_config& config)
{
  // The control actor is detached, so it runs on its own thread. The scheduler has no work, and one
  // thread is enough for it.
  config.set("scheduler.max-threads", 1);
  return config;
}

} // namespace

class ControlThread::Impl
{
public:
  Impl()
    : system_(configure(config_))
    , tick_(std::make_shared<TickState>())
    , actor_(system_.spawn<caf::detached>(runControl, tick_))
  {
  }

  ~Impl() { stop(); }

  void startTicking(base::Duration interval, std::function<void()> onTick)
  {
    post([this, interval, onTick = std::move(onTick)] {
      tick_->interval = interval;
      tick_->onTick = onTick;
    });
    caf::anon_send(actor_, TickAtom::value);
  }

  void post(std::function<void()> task) { caf::anon_send(actor_, ControlTask{ std::move(task) }); }

  void stop()
  {
    if (stopped_.exchange(true)) {
      return;
    }
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    caf::scoped_actor self(system_);
    self->wait_for(actor_);
  }

private:
  caf::actor_system_config config_;
  caf::actor_system system_;
  std::shared_ptr<TickState> tick_;
  caf::actor actor_;
  std::atomic<bool> stopped_{ false };
};

ControlThread::ControlThread()
  : impl_(std::make_unique<Impl>())
{
}

ControlThread::~ControlThread() = default;

void ControlThread::startTicking(base::Duration interval, std::function<void()> onTick)
{
  impl_->startTicking(interval, std::move(onTick));
}

void ControlThread::post(std::function<void()> task)
{
  impl_->post(std::move(task));
}

void ControlThread::stop()
{
  impl_->stop();
}

} // namespace sycamore::control
