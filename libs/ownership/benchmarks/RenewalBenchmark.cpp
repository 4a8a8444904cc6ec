#include <benchmark/benchmark.h>

