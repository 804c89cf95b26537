#pragma once

#include "cornelstall/standins/process/engine.hpp"
#include "cornelstall/standins/process/log.hpp"
#include "cornelstall/standins/process/plain.hpp"
#include "cornelstall/standins/process/platform.hpp"
#include "cornelstall/standins/process/running_standin.hpp"
#include "cornelstall/standins/process/server.hpp"
#include "cornelstall/standins/process/store.hpp"
