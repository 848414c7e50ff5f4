/**
 * Text that the most frequent messages between boxes have in common, the most
 * frequent last. Messages that look otherwise are only compressed less. It must
 * be the same on both sides, so a changed text needs a new frame format.
 */
export const COMPRESSION_DICTIONARY = Buffer.from([
  `{"id":"i-","service":"","address":"10.","port":8080,"failureDomain":"","slots":12,"phase":"ready","coldMs":0,"sequence":1,"models":[{"name":"","version":1}]}`,
  `{"id":"10.","name":"frontend-","failureDomain":"","region":"","peerPort":7720,"callerAddress":"10.","isCore":false,"isStore":false,"isReady":true,"isLeaving":false,"ledTerm":0,"startedAtMs":17,"sequence":0}`,
  `{"jsonrpc":"2.0","id":1,"method":"submission.read","params":{"id":"","after":0,"waitMs":400}}`,
  `{"jsonrpc":"2.0","id":1,"result":{"kind":"done","value":{"total":1,"next":0,"results":[],"isEnded":false}}}`,
  `{"jsonrpc":"2.0","id":1,"result":{"boxes":[],"servers":[]}}`,
  `{"jsonrpc":"2.0","id":1,"method":"fleet.sync","params":{"record":{"id":"10.`,
  `"wanted":{"kind":"differing","digest":""},"configurationVersion":1}}`,
  `{"jsonrpc":"2.0","id":1,"method":"rpc.ping","params":{}}{"jsonrpc":"2.0","id":1,"result":true}`,
  `{"jsonrpc":"2.0","method":"core.consensus","params":{"from":"10.0.0.1","message":{"kind":"voteRequest","term":1,"isPreVote":true,"isTransfer":false,"lastIndex":1,"lastTerm":1}}}`,
  `{"jsonrpc":"2.0","method":"stores.consensus","params":{"from":"10.0.0.1","message":{"kind":"appendReply","term":1,"isMatch":true,"index":1,"sentAtMs":1234.5,"identity":{"incarnation":17,"isAdmitted":true}}}}`,
  `{"jsonrpc":"2.0","method":"stores.consensus","params":{"from":"10.0.0.1","message":{"kind":"appendRequest","term":1,"previousIndex":1,"previousTerm":1,"entries":[],"commitIndex":1,"isEstablished":true,"sentAtMs":1234.5}}}`,
  `{"jsonrpc":"2.0","method":"fleet.news","params":{"from":"10.0.0.1","wantsRelay":false,"boxes":[],"servers":[],"boxRefreshes":[{"id":"10.0.0.1","sequence":1,"content":"17 true false 10.0.0.1:8080 false false 0"}],"serverRefreshes":[{"id":"i-","sequence":1,"content":"ready  10."}],"configurationVersion":1}}`,
].join(""));
