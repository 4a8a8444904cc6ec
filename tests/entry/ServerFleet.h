#pragma once

#include "FaultProxy.h"

#include <Store.h>

#include <csignal>

namespace sycamore::soak {

// One life of a server, in a process of its own.
struct ServerLife
{
  std::string id;
  std::int64_t born = 0;
  std::string domain;
  int address = 0;
  std::string journal;
  pid_t pid = -1;
  bool isPaused = false;
  bool isDraining = false;
  // Whether the store's entry of this id describes this life.
  bool isRegistered = false;
  Nanoseconds silentSince = 0;
  // Time when the process was gone; 0 while it lives.
  Nanoseconds endedAt = 0;

  bool isUp() const { return endedAt == 0; }
};

// Starts and ends the servers and keeps their entries in the store, as each server itself would.
// Used by the main thread only, because the processes end with the thread that started them.
class ServerFleet
{
public:
  ServerFleet(review::Store& store, FaultProxy& proxy, std::string folder);
  ~ServerFleet();

  // Starts a process of the server at a new address of the proxy, or at the given one.
  ServerLife& start(const std::string& id, const std::string& domain, int address = -1);
  std::string newId() { return "i-" + std::to_string(++lastId_); }
  void kill(ServerLife& life);
  void pause(ServerLife& life);
  void resume(ServerLife& life);
  void drain(ServerLife& life);
  // Removes the entries of servers that have been silent for three heartbeats.
  void tick();

  std::vector<std::unique_ptr<ServerLife>>& lives() { return lives_; }
  // Returns the lives that a fault can concern: up, not paused, not draining, and registered.
  std::vector<ServerLife*> ordinary();

private:
  void publish(ServerLife& life);
  int awaitPort(const ServerLife& life) const;

  review::Store& store_;
  FaultProxy& proxy_;
  std::string folder_;
  int lastId_ = 0;
  std::vector<std::unique_ptr<ServerLife>> lives_;
};

} // namespace sycamore::soak
